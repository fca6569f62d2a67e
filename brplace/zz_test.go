package brplace
import ("testing";"time")
func TestZZ(t *testing.T){
 ms:=time.Millisecond
 one:=[]float64{1}; un:=[]float64{0.6,1.7,1}
 for _,warm:=range []time.Duration{0,4*time.Second}{
 for _,load:=range []float64{0.65,0.85,1.2,2} {
 for _,c:=range []callReplay{
  {daemons:84,endpoints:5,work:60*ms,speeds:un},
  {daemons:200,endpoints:8,work:60*ms,speeds:un},
  {daemons:400,endpoints:2,work:30*ms,speeds:one},
  {daemons:400,endpoints:8,work:120*ms,speeds:un,slow:2},
 }{
  c.load=load;c.warmUp=warm
  r:=c.run()
  t.Logf("warm%v %.2f %d/%d/%v slow%d gone%d: %d ontime %.3f late %.3f rej %.3f (waited %d) notrun %.3f longest %d",warm,load,c.daemons,c.endpoints,c.work,c.slow,c.gone,r.counted,r.onTime(2),r.late(2),float64(r.rejected)/float64(r.counted),r.waited,float64(r.notRun)/float64(r.counted),r.longest)
 }}}
}
